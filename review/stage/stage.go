package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/platform/standin"
)

// Bounds as in the settings of the site cce-trade.
const (
	stableTime   = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	startTimeout = 10 * time.Second
)

// stage holds the stand-ins and processes of a case.
type stage struct {
	relayProgram string
	folder       string // for the settings files
	startedAt    time.Time
	store        *standin.Store
	storeServer  *http.Server
	storeAddress string
	basePort     int // the first of the ports of all machines
	relays       []*relay
	servers      []*server

	mu     sync.Mutex
	record *os.File
}

// newStage starts the platform's store.
func newStage(relayProgram, recordPath string) (*stage, error) {
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		return nil, err
	}
	s := &stage{relayProgram: relayProgram, folder: folder, startedAt: time.Now(), store: &standin.Store{PageSize: 500}, record: record}
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = listener.Addr().String()
	s.storeServer = &http.Server{Handler: s.store, ReadHeaderTimeout: startTimeout}
	go func() { _ = s.storeServer.Serve(listener) }()

	return s, nil
}

// listen opens a listener for TCP connections.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig

	return config.Listen(context.Background(), "tcp4", address)
}

// logf writes a line to the record, with the seconds since the start of the case.
func (s *stage) logf(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// sleepUntil waits until a time since the start of the case.
func (s *stage) sleepUntil(elapsed time.Duration) {
	time.Sleep(time.Until(s.startedAt.Add(elapsed)))
}

// write writes an object to the store as the operator or a server does.
func (s *stage) write(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // The specs are maps of this package.
	}
	s.store.Write(kind, name, string(body))
}

// close ends all that the case started.
func (s *stage) close() {
	for _, r := range s.relays {
		r.kill()
	}
	for _, server := range s.servers {
		server.close()
	}
	_ = s.storeServer.Close()
	_ = s.record.Close()
	_ = os.RemoveAll(s.folder)
}

// fields is the JSON of an object.
type fields map[string]any

// Names in the config of the cases.
const (
	hostName    = "ficu95.example"
	callerText  = "xd9dnn2ctnfzs989anu6" // the key of the tenant
	tenantName  = "huka270"
	engineName  = "dele69a"
	ledgerName  = "xano55b"
	briefPrefix = "/lohu930/"
	chatPrefix  = "/pufi791/"
	payPrefix   = "/pule252/"
	quotePrefix = "/puxa403/"
)

// route returns a route of the config.
func route(name, prefix, kind, service string, timeoutMs, goalMs, maxAttempts int, isResumable bool) fields {
	return fields{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "goal_ms": goalMs, "priority": 1,
		"service": service, "max_attempts": maxAttempts, "public": false, "sticky": kind == "streaming", "can_resume": isResumable, "target_gap_ms": 400,
	}
}

// writeConfig writes the config of the site cce-trade in small.
func (s *stage) writeConfig(version int) {
	s.write("config", "main", fields{
		"version": version,
		"routes": []fields{
			route("r-brief", briefPrefix, "streaming", engineName, 5000, 600, 2, true),
			route("r-chat", chatPrefix, "streaming", engineName, 15000, 300, 1, false),
			route("r-pay", payPrefix, "non_idempotent", ledgerName, 1000, 150, 1, false),
			route("r-quote", quotePrefix, "idempotent", ledgerName, 1000, 150, 2, false),
		},
		"services": []fields{
			{"name": engineName, "health_path": "/health", "max_conns": 360, "engine": fields{
				"slots": 64, "kv_capacity": 238283, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []fields{{"name": "m"}},
			}},
			{"name": ledgerName, "health_path": "/health", "max_conns": 100},
		},
		"limits":  fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []fields{{"name": tenantName, "api_keys": []string{callerText}, "priority": 1}},
	})
}
