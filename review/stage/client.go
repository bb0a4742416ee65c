package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// sending is one attempt of a client and how it ended.
type sending struct {
	id, path string
	relay    *relay
	sentAt   time.Time
	inTouch  bool // the machine was in touch when it was sent
	status   int  // 0 without an answer
	isWhole  bool // the whole answer came
	err      error
}

// newClient returns a client of HTTP that keeps connections open.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}

	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}

// request describes what a client sends.
type request struct {
	method, path string
	body         string
	limit        time.Duration
	header       map[string]string
}

// send sends a request to a machine and reads the answer. Each sending has an ID of its own.
func (s *stage) send(client *http.Client, r *relay, sent request) sending {
	result := sending{id: newID(), path: sent.path, relay: r, sentAt: time.Now(), inTouch: r.isInTouch()}
	ctx, cancel := context.WithTimeout(context.Background(), sent.limit)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, sent.method, "http://"+r.address(frontPort)+sent.path, bytes.NewReader([]byte(sent.body)))
	if err != nil {
		result.err = err

		return result
	}
	outgoing.Host = hostName
	outgoing.Header.Set("Request-Id", result.id)
	outgoing.Header.Set("Deadline-Ms", fmt.Sprint(sent.limit.Milliseconds()))
	outgoing.Header.Set("Authorization", "Token "+callerText)
	for name, value := range sent.header {
		outgoing.Header.Set(name, value)
	}
	response, err := client.Do(outgoing)
	if err != nil {
		result.err = err

		return result
	}
	defer func() { _ = response.Body.Close() }()
	_, result.err = io.Copy(io.Discard, response.Body)
	result.status, result.isWhole = response.StatusCode, result.err == nil

	return result
}

// String returns the sending for the record.
func (s sending) String() string {
	text := fmt.Sprintf("request %s %s to %s: status %d", s.id, s.path, s.relay.name, s.status)
	if s.err != nil {
		text += fmt.Sprintf(", %v", s.err)
	}
	if !s.inTouch {
		text += " (the machine was not in touch)"
	}

	return text
}
