package joiner_test

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

func Example() {
	j := joiner.New(joiner.DefaultSettings())
	j.Tick(startTime)
	fmt.Println(formatActions(j.Chunk(startTime, 0, 0, []byte("Hello"), false)))
	fmt.Println(formatActions(j.Broken(startTime, 0)))
	j.Resumed(startTime, 1, true)
	fmt.Println(formatActions(j.Chunk(startTime, 1, 1, []byte("world."), true)))
	// Output:
	// Hello
	// resume 1@1
	// world. done
}
