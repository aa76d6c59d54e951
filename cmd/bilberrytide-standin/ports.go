package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/alecthomas/kingpin/v2"
)

// errTooFewPorts is returned if no port that is free for both TCP and UDP was found.
var errTooFewPorts = errors.New("too few free ports")

const (
	// maxPortTries is the maximum number of candidates for each port.
	maxPortTries = 100
	// firstPort and portCount define the range to search, above the ports of known
	// services and of this project's examples.
	firstPort = 22_000
	portCount = 10_000
)

// registerPorts adds the command that prints free ports for scripts to assign.
func registerPorts(app *kingpin.Application) {
	clause := app.Command("ports", "Print loopback ports that are free just now, for TCP and UDP.")
	count := clause.Flag("count", "How many.").Default("1").Int()
	clause.Action(func(*kingpin.ParseContext) error { return printPorts(*count) })
}

// printPorts keeps every port open until all are found, so that none is printed
// twice.
func printPorts(count int) error {
	for range count {
		listener, port, err := freePort()
		if err != nil {
			return err
		}
		defer listener.Close()
		fmt.Println(port)
	}
	return nil
}

// freePort returns a free port below the ephemeral range (32768 and up by default).
// Any outgoing connection of the host could take an ephemeral port between the search
// and the start of the process that is to listen on it.
func freePort() (net.Listener, int, error) {
	for range maxPortTries {
		port := firstPort + rand.IntN(portCount)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			// The port is in use; try another.
			continue
		}
		packetConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err == nil {
			return listener, port, packetConn.Close()
		}
		if err := listener.Close(); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errTooFewPorts
}
