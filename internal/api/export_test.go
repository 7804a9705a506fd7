package api

import "time"

// SetHeaderTimeout shortens the timeout of request headers before Start.
func (s *Callers) SetHeaderTimeout(d time.Duration) { s.http.server.ReadHeaderTimeout = d }
