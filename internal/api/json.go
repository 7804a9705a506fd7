package api

import (
	"encoding/json"
	"net/http"

	"sycamoreledge.example/internal/api/wire"
)

// writeJSON sends a JSON body with its length, so that it is seen to be whole.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"code":"internal","message":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	writeHeld(w, status, append(body, '\n')) //nolint:errcheck // the peer has left
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, wire.Error{Code: code, Message: message})
}
