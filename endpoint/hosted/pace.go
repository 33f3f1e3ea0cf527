package hosted

import (
	"math"

	"laburnumgw/lib/fleetload"
)

// pacePercent returns a pace in percent, and zero for one that is not plausible.
func pacePercent(pace float64) int32 {
	if !(pace >= fleetload.MinPace && pace <= fleetload.MaxPace) {
		return 0
	}
	return int32(math.Round(pace * 100))
}
