package btpeer_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"bilberrytide/io/btkeys"
	"bilberrytide/io/btpeer"
)

// An agent answers a kind, and an entry calls it. Real processes read files
// that "bilberrytide keys issue" wrote.
func ExampleCall() {
	folder, err := os.MkdirTemp("", "")
	must(err)
	defer func() { must(os.RemoveAll(folder)) }()
	authority, err := btkeys.NewAuthority("example", time.Now(), time.Hour)
	must(err)
	agent := start(authority, folder, btpeer.Identity{Role: btpeer.Agent, Name: "t1"})
	entry := start(authority, folder, btpeer.Identity{Role: btpeer.Entry, Name: "e1"})

	agent.Handle("echo", btpeer.Answer(func(_ context.Context, from btpeer.Identity, request text) (text, error) {
		return text{Text: request.Text + ", " + from.Name}, nil
	}))
	go func() { must(agent.Serve(context.Background())) }()

	to := btpeer.Endpoint{Identity: agent.Identity(), Address: agent.Address()}
	answer, err := btpeer.Call[text, text](context.Background(), entry, to, "echo", text{Text: "hello"})
	fmt.Println(answer.Text, err)

	to.Identity.Name = "t2"
	_, err = btpeer.Call[text, text](context.Background(), entry, to, "echo", text{Text: "hello"})
	fmt.Println(btpeer.NotRun(err))
	must(entry.Close(context.Background()))
	must(agent.Close(context.Background()))
	// Output:
	// hello, e1 <nil>
	// true
}

func start(authority *btkeys.Authority, folder string, id btpeer.Identity) *btpeer.Node {
	issued, err := authority.Issue(id, time.Now(), time.Hour)
	must(err)
	files, err := issued.Write(folder)
	must(err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	must(err)
	node, err := btpeer.New(btpeer.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys})
	must(err)
	return node
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
