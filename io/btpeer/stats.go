package btpeer

import "github.com/quic-go/quic-go"

// Stats sums up a node's open connections: their numbers, and the bytes and packets
// since they were opened. Bytes exclude the 28 bytes of UDP and IPv4 headers of each
// packet.
type Stats struct {
	Dialled         int    `json:"dialled"`
	Accepted        int    `json:"accepted"`
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
}

// Stats returns the sums over the node's open connections.
func (n *Node) Stats() Stats {
	var s Stats
	pooled := n.dialler.connected()
	for _, pc := range pooled {
		s.addConn(pc.conn)
	}
	s.Dialled = len(pooled)
	inbound := n.inboundConns()
	for _, ic := range inbound {
		s.addConn(ic.conn)
	}
	s.Accepted = len(inbound)
	return s
}

func (s *Stats) addConn(conn *quic.Conn) {
	c := conn.ConnectionStats()
	s.BytesSent += c.BytesSent
	s.BytesReceived += c.BytesReceived
	s.PacketsSent += c.PacketsSent
	s.PacketsReceived += c.PacketsReceived
}
