package cloudcaller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/cloudcaller"
	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

type testFormat struct{}

func (testFormat) UsageReport(uint64, map[string]uint64) (cloudcaller.Message, error) {
	return cloudcaller.Message{Path: "/u", Body: []byte("u")}, nil
}

func (testFormat) ServerCount(cloudcaller.Order) (cloudcaller.Message, error) {
	return cloudcaller.Message{Path: "/s", Body: []byte("s")}, nil
}

func (testFormat) DutyHeader(string, uint64) http.Header { return http.Header{} }

// Guards against a report or an order that counts as accepted or refused by an answer that was broken off, was
// written before the call had been sent, or belongs to an earlier call.
func TestAnswerThatProvesNothingLeavesACallInDoubt(t *testing.T) {
	const accepted = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, test := range map[string]struct {
		answer string
		want   error
	}{
		"whole":           {accepted, nil},
		"cut":             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", cloudcaller.ErrInDoubt},
		"conflict, cut":   {"HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\nno", cloudcaller.ErrInDoubt},
		"holds another":   {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nx" + accepted, cloudcaller.ErrInDoubt},
		"written twice":   {accepted + "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", nil},
		"not a final one": {"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", cloudcaller.ErrInDoubt},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := piper.New()
				network.ServeConn("cloud", func(conn net.Conn) {
					if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(conn, test.answer)
					}
					_ = conn.Close()
				})
				client, err := cloudcaller.New(cloudcaller.Settings{URL: "http://cloud"}, testFormat{}, network.Dial, func() time.Duration { return 0 })
				assert.NilError(t, err)
				for range 2 {
					err := client.ReportUsage(t.Context(), dutyholder.Term{Fence: 1, EndsAt: time.Second}, 1, nil)
					assert.Assert(t, errors.Is(err, test.want), "%v", err)
				}
				network.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against calls that leave after their term, that are sent again by themselves or follow a
// redirection, that go beyond the rate, and against a result that is taken for another one.
func TestCallsEndAsTheirAnswersSay(t *testing.T) {
	const status429 = http.StatusTooManyRequests
	for _, test := range []struct {
		name   string
		status int // 0: no answer
		spot   bool
		endsIn time.Duration
		dials  time.Duration
		want   error
		calls  int64
	}{
		{name: "accepted", status: http.StatusOK, endsIn: time.Second, calls: 1},
		{name: "token refused", status: http.StatusConflict, endsIn: time.Second, want: cloudcaller.ErrFenceRefused, calls: 1},
		{name: "spot refused", status: http.StatusConflict, spot: true, endsIn: time.Second, want: cloudcaller.ErrUnavailable, calls: 1},
		{name: "too many", status: status429, endsIn: time.Second, want: cloudcaller.ErrRateLimited, calls: 1},
		{name: "redirected", status: http.StatusTemporaryRedirect, endsIn: time.Second, want: cloudcaller.ErrInDoubt, calls: 1},
		{name: "no answer", endsIn: time.Second, want: cloudcaller.ErrInDoubt, calls: 1},
		{name: "term over", status: http.StatusOK, want: cloudcaller.ErrNotExecuted},
		{name: "term ends while the connection opens", status: http.StatusOK, endsIn: 50 * time.Millisecond, dials: 60 * time.Millisecond, want: cloudcaller.ErrNotExecuted},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := piper.New()
				var calls atomic.Int64
				network.Serve("cloud", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					calls.Add(1)
					if test.status == 0 {
						panic(http.ErrAbortHandler)
					}
					w.Header().Set("Location", "/elsewhere")
					w.WriteHeader(test.status)
				}))
				begin := time.Now()
				dial := func(ctx context.Context, kind, address string) (net.Conn, error) {
					time.Sleep(test.dials)

					return network.Dial(ctx, kind, address)
				}
				client, err := cloudcaller.New(cloudcaller.Settings{URL: "http://cloud", CallsPerSecond: 8}, testFormat{}, dial, func() time.Duration { return time.Since(begin) })
				assert.NilError(t, err)
				term := dutyholder.Term{Fence: 1, EndsAt: test.endsIn}
				call := func() error { return client.ReportUsage(t.Context(), term, 1, nil) }
				if test.spot {
					call = func() error { return client.SetServerCount(t.Context(), term, cloudcaller.Order{Spot: true}) }
				}
				err = call()
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
				assert.Equal(t, calls.Load(), test.calls)
				if test.status == http.StatusOK && test.want == nil {
					assert.ErrorIs(t, call(), cloudcaller.ErrRateLimited)
					time.Sleep(500 * time.Millisecond)
					assert.NilError(t, call())
				}
				network.Close()
			})
		})
	}
}
