package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/alecthomas/kingpin/v2"
)

// errNoPort means that too few ports are free for both TCP and UDP.
var errNoPort = errors.New("too few free ports")

const (
	// portTries bounds the search for each port.
	portTries = 100
	// firstPort and ports are the range that is searched: above the ports of known
	// services and of this project's examples.
	firstPort = 22_000
	ports     = 10_000
)

// registerPorts adds the command that prints ports for a script to hand out.
func registerPorts(app *kingpin.Application) {
	clause := app.Command("ports", "Print loopback ports that are free just now, for TCP and UDP.")
	count := clause.Flag("count", "How many.").Default("1").Int()
	clause.Action(func(*kingpin.ParseContext) error { return printPorts(*count) })
}

// printPorts holds every port until all are found, so that none comes twice.
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

// freePort takes a port below those that the system gives to outgoing connections
// (32768 and up by default): one of these may be taken by any connection of the machine
// between the search and the start of the process that is to have it.
func freePort() (net.Listener, int, error) {
	for range portTries {
		port := firstPort + rand.IntN(ports)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			// Another process has it.
			continue
		}
		packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err == nil {
			return listener, port, packets.Close()
		}
		if err := listener.Close(); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errNoPort
}
