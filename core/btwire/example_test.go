package btwire_test

import (
	"fmt"

	"bilberrytide/core/btid"
	"bilberrytide/core/btwire"
)

func Example() {
	data, err := btwire.Encode(btid.Executor{Target: "pages-1", Incarnation: 7})
	if err != nil {
		fmt.Println(err)
		return
	}
	executor, err := btwire.Decode[btid.Executor](data)
	fmt.Println(executor.Target, err)
	_, err = btwire.Decode[btid.Executor](data[:len(data)-1])
	fmt.Println(err)
	// Output:
	// pages-1 <nil>
	// malformed embedded message: unexpected EOF
}
