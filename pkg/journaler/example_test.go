package journaler_test

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

func Example() {
	j := journaler.New(journaler.DefaultSettings(), "instance-1", func() string { return "random" })
	call := journaler.Call{ID: 1, Workspace: "clinic", Key: "booking-7", Fingerprint: "POST /bookings", FirstAttemptTime: startTime, Attempt: 1}

	read := j.Begin(startTime, call)[0].(journaler.Read)
	write := j.OnRead(startTime, read.Shard, 0, nil)[0].(journaler.Write)
	forward := j.OnWritten(startTime, write.Shard, 41)[0].(journaler.Forward)
	fmt.Println("forward", forward.ID)
	j.Finish(startTime, forward.ID, journaler.Result{State: journaler.Done, Status: 201, Body: []byte("booked")})

	call.ID, call.Attempt = 2, 2
	replay := j.Begin(startTime, call)[0].(journaler.Replay)
	fmt.Println("replay", replay.Result.Status, string(replay.Result.Body))
	// Output:
	// forward 1
	// replay 201 booked
}
