package measure

import (
	"testing"

	"gotest.tools/v3/assert"
)

const coldSilent = "cold-silent"

// checkBounds checks the targets for answers of the main class: 99 in 100 within
// 200 ms, and Valdivia's tail latency and Kelani's coverage not worse than those
// of the baseline.
func checkBounds(t *testing.T, r *Result) {
	t.Helper()
	name := r.Scenario.Name + " " + r.Size.Name
	baselineStats := &baseline()[[2]string{r.Scenario.Name, r.Size.Name}].Main
	assert.Check(t, r.Main.LatencyPercentile(99) <= p99Limit, "%s: p99 %s", name, r.Main.LatencyPercentile(99))
	if r.Size.prefersLatency() {
		assert.Check(t, r.Main.LatencyPercentile(99) <= baselineStats.LatencyPercentile(99), "%s: p99 %s, baseline %s", name, r.Main.LatencyPercentile(99), baselineStats.LatencyPercentile(99))
		return
	}
	assert.Check(t, r.Main.MeanCoverage() >= baselineStats.MeanCoverage(), "%s: coverage %.4f, baseline %.4f", name, r.Main.MeanCoverage(), baselineStats.MeanCoverage())
}

// checkUserBounds checks one scenario at both sizes of a user.
func checkUserBounds(t *testing.T, scenario, user string) {
	t.Helper()
	for _, shards := range []string{"20", "30"} {
		checkBounds(t, current()[[2]string{scenario, user + "-" + shards}])
	}
}

// Each test guards against a change by which the named fault or load makes
// queries of a user miss the targets.
func TestValdiviaSteady(t *testing.T)      { checkUserBounds(t, "steady", "valdivia") }
func TestValdiviaStragglers(t *testing.T)  { checkUserBounds(t, "stragglers", "valdivia") }
func TestValdiviaSlowReplica(t *testing.T) { checkUserBounds(t, "slow-replica", "valdivia") }
func TestValdiviaDeadReplica(t *testing.T) { checkUserBounds(t, "dead-replica", "valdivia") }
func TestValdiviaColdRestart(t *testing.T) { checkUserBounds(t, "cold-restart", "valdivia") }
func TestValdiviaColdSilent(t *testing.T)  { checkUserBounds(t, coldSilent, "valdivia") }
func TestValdiviaLossyLink(t *testing.T)   { checkUserBounds(t, "lossy-link", "valdivia") }
func TestValdiviaZoneOutBack(t *testing.T) { checkUserBounds(t, "zone-out-back", "valdivia") }
func TestValdiviaZonesInTurn(t *testing.T) { checkUserBounds(t, "zones-in-turn", "valdivia") }
func TestValdiviaOverload(t *testing.T)    { checkUserBounds(t, "overload", "valdivia") }
func TestKelaniSteady(t *testing.T)        { checkUserBounds(t, "steady", "kelani") }
func TestKelaniStragglers(t *testing.T)    { checkUserBounds(t, "stragglers", "kelani") }
func TestKelaniSlowReplica(t *testing.T)   { checkUserBounds(t, "slow-replica", "kelani") }
func TestKelaniDeadReplica(t *testing.T)   { checkUserBounds(t, "dead-replica", "kelani") }
func TestKelaniColdRestart(t *testing.T)   { checkUserBounds(t, "cold-restart", "kelani") }
func TestKelaniColdSilent(t *testing.T)    { checkUserBounds(t, coldSilent, "kelani") }
func TestKelaniLossyLink(t *testing.T)     { checkUserBounds(t, "lossy-link", "kelani") }
func TestKelaniZoneOutBack(t *testing.T)   { checkUserBounds(t, "zone-out-back", "kelani") }
func TestKelaniZonesInTurn(t *testing.T)   { checkUserBounds(t, "zones-in-turn", "kelani") }
func TestKelaniOverload(t *testing.T)      { checkUserBounds(t, "overload", "kelani") }

// Guards against concurrent requests to a leaf that became cold without a
// restart that the relay could detect.
func TestSilentColdLeafIsNotOverloaded(t *testing.T) {
	forEachResult(current(), func(r *Result) {
		if r.Scenario.Name == coldSilent {
			assert.Check(t, r.ColdViolations == 0, "%s: %d", r.Size.Name, r.ColdViolations)
		}
	})
}
