package btpeer

import "github.com/quic-go/quic-go"

// Stats is what a node's connections amount to now. Bytes and packets are those
// of the connections that are up, without the 28 bytes of UDP and IPv4 headers
// of each packet.
type Stats struct {
	Dialled         int    `json:"dialled"`
	Accepted        int    `json:"accepted"`
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
}

// Stats adds up the node's connections.
func (n *Node) Stats() Stats {
	var s Stats
	links := n.dialler.connected()
	for _, l := range links {
		s.add(l.conn)
	}
	s.Dialled = len(links)
	inbound := n.inbound()
	for _, a := range inbound {
		s.add(a.conn)
	}
	s.Accepted = len(inbound)
	return s
}

func (s *Stats) add(conn *quic.Conn) {
	c := conn.ConnectionStats()
	s.BytesSent += c.BytesSent
	s.BytesReceived += c.BytesReceived
	s.PacketsSent += c.PacketsSent
	s.PacketsReceived += c.PacketsReceived
}
