package promises

// quickCases are the singles of the short run.
var quickCases = map[string]bool{
	"kill-only-entry":          true,
	"freeze-owner":             true,
	"cut-between-peers":        true,
	"cut-region":               true,
	"planned-stop":             true,
	"platform-loses-answers":   true,
	"upstreams-mute":           true,
	"upstreams-answer-half":    true,
	"drain-upstream":           true,
	"two operators at once":    true,
	"another body under key":   true,
	"upload cut, then again":   true,
	"orders twice at once":     true,
	"kill-owner+platform-down": true,
}

// pairNames are the faults that come together.
var pairNames = [][]string{
	{"kill-owner", "platform-down"},
	{"kill-owner", "upstreams-mute"},
	{"kill-only-entry", "freeze-owner"},
	{"kill-only-entry", "upstreams-refuse"},
	{"freeze-owner", "platform-down"},
	{"freeze-only-entry", "upstreams-answer-late"},
	{"freeze-owner", "upstreams-ignore-cancellation"},
	{"planned-stop", "upstreams-slow"},
	{"planned-stop", "platform-down"},
	{"planned-stop-only-entry", "kill-owner"},
	{"drain-zone", "kill-owner"},
	{"drain-zone", "planned-stop"},
	{"drain-upstream", "planned-stop-only-entry"},
	{"platform-slow", "platform-loses-answers"},
	{"platform-stale", "kill-owner"},
	{"platform-silent-watch", "planned-stop"},
	{"upstreams-shed", "kill-only-entry"},
	{"upstreams-restart", "freeze-owner"},
	{"kill-region", "platform-down"},
	{"kill-region", "upstreams-lie"},
	{"cut-zones", "kill-owner"},
	{"cut-zones", "platform-down"},
	{"cut-between-peers", "freeze-owner"},
	{"cut-between-peers", "planned-stop"},
	{"cut-region", "platform-down"},
	{"cut-region", "kill-only-entry"},
	{"cut-region-one-way", "upstreams-answer-late"},
	{"cut-zone-off", "freeze-owner"},
	{"drain-zone", "cut-region", "planned-stop"},
	{"drain-upstream", "cut-zones"},
}

// twiceNames are the faults that come again shortly after.
var twiceNames = []string{
	"kill-owner", "kill-only-entry", "freeze-owner", "freeze-only-entry", "planned-stop", "platform-down",
	"platform-loses-answers", "upstreams-restart", "drain-upstream", "cut-zones", "cut-region", "cut-between-peers",
}

// Cases returns the whole table: each fault alone, in pairs, twice, and the
// exchanges that need no fault.
func Cases() []*Case {
	all := faults()
	byName := map[string]fault{}
	var cases []*Case
	for _, f := range all {
		byName[f.name] = f
		cases = append(cases, &Case{Name: f.name, faults: []fault{f}})
	}
	for _, names := range pairNames {
		var pair []fault
		for _, name := range names {
			pair = append(pair, byName[name])
		}
		cases = append(cases, &Case{Name: nameOf(pair), faults: pair})
	}
	for _, name := range twiceNames {
		cases = append(cases, &Case{Name: name + " x2", faults: []fault{byName[name]}, times: 2})
	}
	cases = append(cases, specials()...)
	for _, c := range cases {
		c.Quick = quickCases[c.Name]
	}
	return cases
}

// faults lists every fault.
func faults() []fault {
	all := entryFaults()
	all = append(all, cutFaults()...)
	all = append(all, platformFaults()...)
	all = append(all, upstreamFaults()...)
	return append(all, drainFaults()...)
}
