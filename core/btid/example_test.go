package btid_test

import (
	"encoding/json"
	"errors"
	"fmt"

	"bilberrytide/core/btid"
)

// A malformed name is rejected when it is decoded.
func ExampleTarget() {
	var target btid.Target
	err := json.Unmarshal([]byte(`"pages-1"`), &target)
	fmt.Println(target, err)
	err = json.Unmarshal([]byte(`"Pages 1"`), &target)
	fmt.Println(err, errors.Is(err, btid.ErrName))
	// Output:
	// pages-1 <nil>
	// malformed name: "Pages 1" has 'P' at byte 0 true
}
