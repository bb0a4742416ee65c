// Package responder writes the JSON answers of the lab's stand-ins.
package responder

import (
	"encoding/json"
	"net/http"
)

// Failure is the body of an answer that is an error.
type Failure struct {
	Error Reason `json:"error"`
}

// Reason says why a call failed.
type Reason struct {
	Kind    string `json:"kind"`
	Message string `json:"message,omitempty"`
}

// JSON answers with a status and a value.
func JSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // A caller that went away is no error of the stand-in.
}

// Error answers with an error kind.
func Error(w http.ResponseWriter, status int, kind, message string) {
	JSON(w, status, Failure{Error: Reason{Kind: kind, Message: message}})
}

// NotStarted answers that a request was not accepted and never ran.
func NotStarted(w http.ResponseWriter, kind, message string) {
	w.Header().Set("X-Started", "false")
	Error(w, http.StatusServiceUnavailable, kind, message)
}

// AbortConnection ends the connection without an answer.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
