// Command lab starts the stand-ins of the platform, the upstreams, the links
// and the callers, replays traces and measures. It is never shipped.
package main

func main() {}
