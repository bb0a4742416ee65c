package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines, counted from the base port. Each machine has a loopback address of its own, and all have
// the same ports.
const (
	frontPort = iota
	readyPort
	controlPort
	notePort
	metricsPort
	portCount
)

const (
	seedCount = 3
	// minBasePort is the lowest base port, and basePortCount the number of those that are tried.
	minBasePort, basePortCount = 20000, 200
)

// relay is a machine with one process of the system.
type relay struct {
	stage        *stage
	name, zone   string
	ip           string
	settingsPath string

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	startedAt time.Time     // of the process
	stoppedAt time.Time     // when a signal was sent to it; zero if none
}

// addRelays prepares machines with the names and zones of the site cce-trade.
func (s *stage) addRelays(count int) {
	for i := range count {
		zone := []string{"bc-south-a", "bc-south-b", "bc-south-c"}[i%3]
		s.relays = append(s.relays, &relay{
			stage: s, name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone: zone, ip: fmt.Sprintf("127.0.7.%d", i+1),
			settingsPath: filepath.Join(s.folder, fmt.Sprintf("local-%d.env", i)),
		})
	}
}

// errNoPorts means that no free ports were found.
var errNoPorts = errors.New("no free ports for the machines")

// choosePorts finds ports that are free on all machines.
func (s *stage) choosePorts() error {
	for range basePortCount {
		s.basePort = minBasePort + rand.IntN(basePortCount)*portCount*2
		if s.arePortsFree() {
			return nil
		}
	}

	return errNoPorts
}

// arePortsFree reports whether all ports are free on all machines.
func (s *stage) arePortsFree() bool {
	for _, r := range s.relays {
		for port := range portCount {
			listener, err := listen(r.address(port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}

	return true
}

// startRelays starts all machines and waits until they are ready.
func (s *stage) startRelays(isFirstStart bool) error {
	if s.basePort == 0 {
		if err := s.choosePorts(); err != nil {
			return err
		}
	}
	for _, r := range s.relays {
		if err := r.start(isFirstStart); err != nil {
			return err
		}
	}
	for _, r := range s.relays {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	s.logf("all %d machines are ready", len(s.relays))

	return nil
}

// address returns the address of one of the machine's ports.
func (r *relay) address(port int) string {
	return net.JoinHostPort(r.ip, strconv.Itoa(r.stage.basePort+port))
}

// settings returns the settings file, as the template of the deploy file fills it in.
func (r *relay) settings(isFirstStart bool) string {
	seeds := make([]string, 0, seedCount)
	for _, seed := range r.stage.relays[:min(seedCount, len(r.stage.relays))] {
		seeds = append(seeds, seed.address(controlPort))
	}
	lines := []string{
		"NAME=" + r.name, "DATA_CENTRE=" + r.zone, "PLATFORM=http://" + r.stage.storeAddress, "LISTEN=" + r.address(frontPort),
		"STATUS_LISTEN=" + r.address(readyPort), "PEER_LISTEN=" + r.address(controlPort), fmt.Sprintf("NOTE_PORT=%d", r.stage.basePort+notePort),
		"SEEDS=" + strings.Join(seeds, ","), "MEMORY=134", "KEY_LEASE=5000ms", "RETRY_SHARE=0.2", "RETRY_BURST=54", "RETRY_WINDOW=10s", "STOP_LIMIT=8s",
		"METRICS_LISTEN=" + r.address(metricsPort), fmt.Sprintf("FIRST_START=%t", isFirstStart), "CHANGE_LIMIT=2000ms", "DRAIN_LIMIT=2000ms",
		"FEATURES=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
	}

	return "OLEANDERPICK_" + strings.Join(lines, "\nOLEANDERPICK_") + "\n"
}

// start starts the process.
func (r *relay) start(isFirstStart bool) error {
	if err := os.WriteFile(r.settingsPath, []byte(r.settings(isFirstStart)), 0o600); err != nil {
		return err
	}
	command := exec.Command(r.stage.relayProgram, "relay") //nolint:gosec,noctx // The program of the deploy file, ended by kill.
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERPICK_NODE_FILE=" + r.settingsPath}
	if path := os.Getenv("STAGE_LOGS"); path != "" {
		if log, err := os.OpenFile(filepath.Join(path, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil { //nolint:gosec // For whoever looks into a case.
			command.Stdout, command.Stderr = log, log
		}
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.command, r.exited, r.startedAt, r.stoppedAt = command, exited, time.Now(), time.Time{}
	r.stage.logf("%s: process started", r.name)
	go func() {
		err := command.Wait()
		r.stage.logf("%s: process ended: %v", r.name, err)
		close(exited)
	}()

	return nil
}

// signal sends a signal to the process.
func (r *relay) signal(signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.command != nil {
		r.stoppedAt = time.Now()
		r.stage.logf("%s: %v", r.name, signal)
		_ = r.command.Process.Signal(signal)
	}
}

// kill kills the process, if it runs, and waits for its end.
func (r *relay) kill() {
	r.mu.Lock()
	command, exited := r.command, r.exited
	r.mu.Unlock()
	if command == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	r.signal(syscall.SIGKILL)
	<-exited
}

// isInTouch reports whether the process has run for stableTime without a signal.
func (r *relay) isInTouch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.command != nil && r.stoppedAt.IsZero() && time.Since(r.startedAt) >= stableTime
}

// isReady asks the process whether it is ready.
func (r *relay) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(readyPort)+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (r *relay) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}

	return fmt.Errorf("%s is not ready", r.name)
}
