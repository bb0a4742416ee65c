// Package responder writes the JSON answers of the lab's emulated services.
package responder

import (
	"encoding/json"
	"net/http"
)

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why a call failed: a kind for programs, a message for people.
type ErrorDetail struct {
	Kind    string `json:"kind"`
	Message string `json:"message,omitempty"`
}

// JSON writes an answer with a status and a value encoded as JSON.
func JSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // Fails only if the client has disconnected, which needs no handling.
}

// Error writes an error answer with a status, an error kind and a message.
func Error(w http.ResponseWriter, status int, kind, message string) {
	JSON(w, status, ErrorBody{Error: ErrorDetail{Kind: kind, Message: message}})
}

// NotStarted writes the answer to a request that was refused and is certain not to
// have run: status 503 with the header X-Started: false.
func NotStarted(w http.ResponseWriter, kind, message string) {
	w.Header().Set("X-Started", "false")
	Error(w, http.StatusServiceUnavailable, kind, message)
}

// AbortConnection ends the connection without completing the answer, by a panic that net/http
// recovers. It does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
