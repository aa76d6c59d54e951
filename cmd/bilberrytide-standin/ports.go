package main

import (
	"errors"
	"fmt"
	"net"

	"github.com/alecthomas/kingpin/v2"
)

// errNoPort means that too few ports are free for both TCP and UDP.
var errNoPort = errors.New("too few free ports")

// portTries bounds the search for each port.
const portTries = 100

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

func freePort() (net.Listener, int, error) {
	for range portTries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, 0, err
		}
		address := listener.Addr().(*net.TCPAddr)
		packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port})
		if err == nil {
			return listener, address.Port, packets.Close()
		}
		if err := listener.Close(); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errNoPort
}
