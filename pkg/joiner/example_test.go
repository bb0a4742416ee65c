package joiner_test

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

func Example() {
	j := joiner.New(joiner.DefaultSettings())
	j.Tick(start)
	fmt.Println(text(j.OnChunk(start, 0, 0, []byte("Hello"), false)))
	fmt.Println(text(j.OnDisconnect(start, 0)))
	j.OnResumeReply(start, 1, true)
	fmt.Println(text(j.OnChunk(start, 1, 1, []byte("world."), true)))
	// Output:
	// Hello
	// resume 1@1
	// world. done
}
