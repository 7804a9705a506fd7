package api

import (
	"encoding/json"
	"net/http"

	"sycamoreledge.example/internal/api/wire"
)

// writeJSON sends a JSON body with its length, so that the receiver can detect
// truncation.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"code":"internal","message":"the response cannot be encoded as JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	writeComplete(w, status, append(body, '\n')) //nolint:errcheck // the peer has disconnected
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, wire.Error{Code: code, Message: message})
}
