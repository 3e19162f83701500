package side

import (
	"context"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
)

// healthInterval is the time between two health checks whose answer is needed. Checks at targets are
// costly, so that there is one only after the target was down, and one when it is cold by the list alone.
const healthInterval = time.Second

// healthCheck is the state of checkHealth.
type healthCheck struct {
	due       bool
	checkedAt time.Time
	// answered is the name of the target that answered last.
	answered string
}

// checkHealth asks the target for how long it stays cold if it has just come up, or is cold and has not been asked:
// the list shows both late.
func (h *Host) checkHealth(ctx context.Context, cameUp bool) {
	if h.Health == nil || !h.Targets.Cold.Enabled() {
		return
	}
	c, now := &h.health, h.Clock.Now()
	name := h.targetName()
	if cameUp || name != c.answered && h.limits.IsCold(name) {
		c.due = true
	}
	i, ok := h.Targets.Find(h.Target)
	path := h.configuration().Services[i.Service].HealthPath
	if !c.due || !ok || path == "" || h.targetDown.Load() || now.Sub(c.checkedAt) < healthInterval {
		return
	}
	c.checkedAt = now
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	r, err := h.Health.Health(ctx, path)
	if err != nil {
		h.Logger.WithError(err).Warn("cannot check the health of the target")
		return
	}
	c.due, c.answered = false, name
	if r.Instance != "" {
		// The list may still show an earlier instance.
		i.ID = r.Instance
		c.answered = discovery.TargetName(i)
	}
	if r.HasCold {
		h.Logger.WithFields(log.Fields{"target": c.answered, "left": r.ColdLeft.String()}).Info("target stated its cold time")
		h.limits.ObserveCold(c.answered, i.Service, r.ColdLeft)
	}
}
