package steering

import "sycamoreledge.example/internal/routing"

// Assign returns the service of a route's traffic split that gets a request. An
// object is assigned to the same service as long as the services' shares stay
// close to their weights.
func (c *Core) Assign(r *routing.Route, object string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.routeStateFor(r)
	return state.assign(r, object)
}

const (
	// shareTolerance is how far a service's share may exceed its weight to keep an
	// object on the same service.
	shareTolerance = 0.02
	// shareWindow is the number of requests after which the counts are halved.
	shareWindow = 200
)

func (s *routeState) assign(r *routing.Route, object string) string {
	sum := 0.0
	for _, share := range r.Shares {
		sum += share.Weight
	}
	point := rank(hashKey(object), hashKey(r.Prefix)) * sum
	mostBehind, maxLag := "", 0.0
	var preferred routing.Share
	for _, share := range r.Shares {
		if point >= 0 && point < share.Weight {
			preferred = share
		}
		point -= share.Weight
		lag := (s.assignedTotal+1)*share.Weight/sum - s.assigned[share.Service]
		if mostBehind == "" || lag > maxLag {
			mostBehind, maxLag = share.Service, lag
		}
	}
	chosen := mostBehind
	if object != "" && preferred.Service != "" &&
		s.assigned[preferred.Service]+1 <= (s.assignedTotal+1)*(preferred.Weight/sum)+shareTolerance*s.assignedTotal+1 {
		chosen = preferred.Service
	}
	s.assigned[chosen]++
	s.assignedTotal++
	if s.assignedTotal > shareWindow {
		for name := range s.assigned {
			s.assigned[name] /= 2
		}
		s.assignedTotal /= 2
	}
	return chosen
}
