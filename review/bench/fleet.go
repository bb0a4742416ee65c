package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderpick/oleanderpick/platform/standin"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	startTimeout      = 10 * time.Second
	killTimeout       = 10 * time.Second
	portsPerRelay     = 4
	relayCount        = 2
	plainSlots        = 6
	// maxLogTail is how many bytes of a relay's log are shown if it does not start.
	maxLogTail = 2000
)

// fleet is a small deployment on loopback addresses: the stand-in of the platform's store and
// some relay processes, started with the command of the deploy file.
type fleet struct {
	folder        string
	store         *standin.Store
	address       string // of the store
	relays        []*relay
	startedUnixMs int64 // when all servers started

	mu      sync.Mutex
	servers map[string]func(seq int) string // registrations by id
}

// relay is one relay process.
type relay struct {
	name, ip, front, ready string
	ports                  []string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// signal sends a signal to the process.
func (r *relay) signal(signal os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.command.Process.Signal(signal)
}

// restart stops a relay as planned and starts it again once its process has ended, unless another call
// has.
func (f *fleet) restart(ctx context.Context, r *relay) {
	r.signal(syscall.SIGTERM)
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
	case <-ctx.Done():
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exited != exited {
		return
	}
	r.exited = make(chan struct{})
	if err := f.startRelay(ctx, r, r.ports); err != nil {
		close(r.exited)
	}
}

// newFleet starts the store.
func newFleet(ctx context.Context) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, store: &standin.Store{PageSize: 500}, servers: map[string]func(int) string{}, startedUnixMs: time.Now().UnixMilli()}
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	go f.beat(ctx)

	return f, nil
}

// listen opens a listener at a free port of the loopback address.
func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig

	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

// beat renews the registrations of the servers.
func (f *fleet) beat(ctx context.Context) {
	for seq := 2; ctx.Err() == nil; seq++ {
		time.Sleep(heartbeatInterval)
		f.mu.Lock()
		for id, registration := range f.servers {
			f.store.Write("servers", id, registration(seq))
		}
		f.mu.Unlock()
	}
}

// register registers a server of the service in the store.
func (f *fleet) register(id, address string) {
	f.registerFor(service, id, address, plainSlots)
}

// registerFor registers a server of a service in the store.
func (f *fleet) registerFor(service, id, address string, slots int) {
	registration := func(seq int) string {
		return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"zone-a","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`,
			service, address, slots, seq, f.startedUnixMs)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id] = registration
	f.store.Write("servers", id, registration(1))
}

// unregister removes a server from the store.
func (f *fleet) unregister(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, id)
	f.store.Remove("servers", id)
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()

	return listener.Addr().String(), nil
}

// relayAddress returns the IP address of a relay. Fleets that run at the same time have different ones, as
// they choose their ports before they use them.
func relayAddress(n int) string {
	const subnets = 250

	return fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%subnets, n+1)
}

// startRelays starts relay processes and waits until each is ready.
func (f *fleet) startRelays(ctx context.Context, count int) error {
	ports := make([]string, 0, portsPerRelay)
	for range portsPerRelay {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return err
		}
		ports = append(ports, port)
	}
	for i := range count {
		ip := relayAddress(i)
		r := &relay{name: fmt.Sprintf("edge-zone-a-%d", i+1), ip: ip, front: ip + ":" + ports[0], ready: ip + ":" + ports[1], ports: ports, exited: make(chan struct{})}
		if err := f.startRelay(ctx, r, ports); err != nil {
			return err
		}
		f.relays = append(f.relays, r)
	}
	for _, r := range f.relays {
		if err := r.awaitReady(ctx); err != nil {
			log, _ := os.ReadFile(filepath.Join(f.folder, r.name+".log"))

			return fmt.Errorf("%w; its log ends with: %s", err, log[max(0, len(log)-maxLogTail):])
		}
	}

	return nil
}

// startRelay starts a relay process with settings like those that the platform fills in.
func (f *fleet) startRelay(ctx context.Context, r *relay, ports []string) error {
	settings := filepath.Join(f.folder, r.name+".env")
	text := fmt.Sprintf(`OLEANDERPICK_NAME=%s
OLEANDERPICK_DATA_CENTRE=zone-a
OLEANDERPICK_PLATFORM=http://%s
OLEANDERPICK_LISTEN=%s
OLEANDERPICK_STATUS_LISTEN=%s
OLEANDERPICK_PEER_LISTEN=%s
OLEANDERPICK_NOTE_PORT=%s
OLEANDERPICK_SEEDS=%s
OLEANDERPICK_MEMORY=134
OLEANDERPICK_KEY_LEASE=5000ms
OLEANDERPICK_RETRY_SHARE=0.2
OLEANDERPICK_RETRY_BURST=54
OLEANDERPICK_RETRY_WINDOW=10s
OLEANDERPICK_STOP_LIMIT=8s
OLEANDERPICK_FIRST_START=true
OLEANDERPICK_CHANGE_LIMIT=2000ms
OLEANDERPICK_DRAIN_LIMIT=2000ms
`, r.name, f.address, r.front, r.ready, r.ip+":"+ports[2], ports[3], relayAddress(0)+":"+ports[2])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.command = exec.CommandContext(ctx, "target/oleanderpick", "relay")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "OLEANDERPICK_NODE_FILE=" + settings}
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return err
	}
	command, exited := r.command, r.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()

	return nil
}

// awaitReady waits until the relay says that it is ready.
func (r *relay) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/v1/ready", http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}

	return fmt.Errorf("%s is not ready in time", r.name)
}

// stop ends all relay processes and removes the folder.
func (f *fleet) stop() {
	for _, r := range f.relays {
		_ = r.command.Process.Signal(syscall.SIGKILL)
		select {
		case <-r.exited:
		case <-time.After(killTimeout):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
