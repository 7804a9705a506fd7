package traffic

import "sycamoreledge.example/internal/work"

// note adds a step to the explanation.
func (t *trip) note(r *route, owner, what string) {
	if t.explain.Len() > maxExplain {
		return
	}
	if t.explain.Len() > 0 {
		t.explain.WriteString("; ")
	}
	t.explain.WriteString(r.name)
	if owner != "" {
		t.explain.WriteString(" via ")
		t.explain.WriteString(owner)
	}
	t.explain.WriteString(": ")
	t.explain.WriteString(what)
}

func verdict(resp *work.Response) string {
	if resp.Outcome == work.Run {
		return "run by " + resp.Upstream
	}
	return resp.Outcome.String() + " (" + string(resp.Reason) + ")"
}
