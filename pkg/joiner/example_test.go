package joiner_test

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

func Example() {
	j := joiner.New(joiner.DefaultSettings())
	j.Tick(startTime)
	fmt.Println(formatActions(j.OnChunk(startTime, 0, 0, []byte("Hello"), false)))
	fmt.Println(formatActions(j.OnDisconnect(startTime, 0)))
	j.OnResumeReply(startTime, 1, true)
	fmt.Println(formatActions(j.OnChunk(startTime, 1, 1, []byte("world."), true)))
	// Output:
	// Hello
	// resume 1@1
	// world. done
}
