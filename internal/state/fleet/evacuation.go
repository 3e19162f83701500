package fleet

import "rhubarbgate.example/rhubarbgate/internal/policy/evacuation"

// evacuated returns the evacuated zones, the empty set until the first order.
func (s *state) evacuated() evacuation.Set {
	if s.Evacuated == nil {
		return evacuation.Set{}
	}
	return *s.Evacuated
}

// evacuate carries out an order. Orders for one zone take effect in the order of the log.
func (m *Machine) evacuate(o evacuation.Order) *EvacuationResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.evacuated()
	after := before.With(o)
	if after.Version == before.Version {
		return &EvacuationResult{Set: before}
	}
	m.state.Evacuated = &after
	return &EvacuationResult{Set: after, Changed: true}
}

// Evacuation returns the evacuated zones.
func (m *Machine) Evacuation() evacuation.Set {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.evacuated()
}
