package measure

import (
	"testing"

	"gotest.tools/v3/assert"
)

const silentCold = "cold-silent"

// checkBounds holds the targets for answers of the higher class: 99 in 100
// within 200 ms, Valdivia's tail latency and Kelani's coverage not worse than
// those of a plain fan-out.
func checkBounds(t *testing.T, r *Result) {
	t.Helper()
	name := r.Scenario.Name + " " + r.Size.Name
	plain := &baseline()[[2]string{r.Scenario.Name, r.Size.Name}].Main
	assert.Check(t, r.Main.At(99) <= answerLimit, "%s: p99 %s", name, r.Main.At(99))
	if r.Size.prefersLatency() {
		assert.Check(t, r.Main.At(99) <= plain.At(99), "%s: p99 %s, plain %s", name, r.Main.At(99), plain.At(99))
		return
	}
	assert.Check(t, r.Main.Mean() >= plain.Mean(), "%s: coverage %.4f, plain %.4f", name, r.Main.Mean(), plain.Mean())
}

// bounds checks one scenario at both sizes of a user.
func bounds(t *testing.T, scenario, user string) {
	t.Helper()
	for _, shards := range []string{"20", "30"} {
		checkBounds(t, current()[[2]string{scenario, user + "-" + shards}])
	}
}

// Each test guards against a fault or load that breaks the targets of a user.
func TestValdiviaSteady(t *testing.T)      { bounds(t, "steady", "valdivia") }
func TestValdiviaStragglers(t *testing.T)  { bounds(t, "stragglers", "valdivia") }
func TestValdiviaSlowReplica(t *testing.T) { bounds(t, "slow-replica", "valdivia") }
func TestValdiviaDeadReplica(t *testing.T) { bounds(t, "dead-replica", "valdivia") }
func TestValdiviaColdRestart(t *testing.T) { bounds(t, "cold-restart", "valdivia") }
func TestValdiviaColdSilent(t *testing.T)  { bounds(t, silentCold, "valdivia") }
func TestValdiviaLossyLink(t *testing.T)   { bounds(t, "lossy-link", "valdivia") }
func TestValdiviaZoneOutBack(t *testing.T) { bounds(t, "zone-out-back", "valdivia") }
func TestValdiviaZonesInTurn(t *testing.T) { bounds(t, "zones-in-turn", "valdivia") }
func TestValdiviaOverload(t *testing.T)    { bounds(t, "overload", "valdivia") }
func TestKelaniSteady(t *testing.T)        { bounds(t, "steady", "kelani") }
func TestKelaniStragglers(t *testing.T)    { bounds(t, "stragglers", "kelani") }
func TestKelaniSlowReplica(t *testing.T)   { bounds(t, "slow-replica", "kelani") }
func TestKelaniDeadReplica(t *testing.T)   { bounds(t, "dead-replica", "kelani") }
func TestKelaniColdRestart(t *testing.T)   { bounds(t, "cold-restart", "kelani") }
func TestKelaniColdSilent(t *testing.T)    { bounds(t, silentCold, "kelani") }
func TestKelaniLossyLink(t *testing.T)     { bounds(t, "lossy-link", "kelani") }
func TestKelaniZoneOutBack(t *testing.T)   { bounds(t, "zone-out-back", "kelani") }
func TestKelaniZonesInTurn(t *testing.T)   { bounds(t, "zones-in-turn", "kelani") }
func TestKelaniOverload(t *testing.T)      { bounds(t, "overload", "kelani") }

// Guards against overload of a leaf that turned cold without any sign.
func TestSilentColdLeafIsNotOverloaded(t *testing.T) {
	each(current(), func(r *Result) {
		if r.Scenario.Name == silentCold {
			assert.Check(t, r.ColdViolations == 0, "%s: %d", r.Size.Name, r.ColdViolations)
		}
	})
}
