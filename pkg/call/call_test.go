package call_test

import (
	"fmt"

	"github.com/tanagerlb/tanagerlb/pkg/call"
)

func ExampleCall_SharedParts() {
	c := call.Call{PromptParts: []call.Part{{ID: 0x5c1e, Tokens: 800}, {ID: 0x91bd, Tokens: 410}, {ID: 0xe440, Tokens: 250}}}
	fmt.Println(c.SharedParts())
	// Output: [5c1e 91bd]
}
