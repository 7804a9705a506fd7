package api

import "time"

// SetHeaderTimeout sets the timeout of request headers. It must be called before Start.
func (s *Callers) SetHeaderTimeout(d time.Duration) { s.http.server.ReadHeaderTimeout = d }
