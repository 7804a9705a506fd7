package traffic

import "sycamoreledge.example/internal/work"

// explain appends a step to the explanation.
func (t *traversal) explain(r *route, owner, step string) {
	if t.explanation.Len() > maxExplanationBytes {
		return
	}
	if t.explanation.Len() > 0 {
		t.explanation.WriteString("; ")
	}
	t.explanation.WriteString(r.name)
	if owner != "" {
		t.explanation.WriteString(" via ")
		t.explanation.WriteString(owner)
	}
	t.explanation.WriteString(": ")
	t.explanation.WriteString(step)
}

func describeResponse(resp *work.Response) string {
	if resp.Outcome == work.Run {
		return "run by " + resp.Upstream
	}
	return resp.Outcome.String() + " (" + string(resp.Reason) + ")"
}
