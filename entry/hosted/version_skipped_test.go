package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

// Guards against old weights whose bound counts from the newest version although a version
// between was named earlier and this entry never learned of it, because it started later or was
// disconnected. An object names the newest version only.
func TestWeightsOlderThanASkippedVersionAreRetiredInTime(t *testing.T) {
	name := func(d *deployment, version int, learned, complete time.Time) {
		d.rev++
		d.front.view.applyChanges(platform.KindVersions, []mirror.Change{{LastCompleteAt: complete, Object: mirror.Object{
			Name: "m", Revision: d.rev, Value: json.RawMessage(fmt.Sprintf(`{"model":"m","version":%d}`, version)), LearnedAt: learned,
		}}})
	}
	ask := func(t *testing.T, d *deployment) int {
		return d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000").status
	}
	t.Run("named before a start", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T, d *deployment) {
			d.front.view.listedKinds[platform.KindVersions] = false
			d.worker("llm", "w1", 1, func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() })
			// Version 2 was named at an unknown time before.
			name(d, 3, time.Now().Add(-time.Second), time.Time{})
			if got := ask(t, d); got != http.StatusServiceUnavailable {
				t.Errorf("status with weights two versions back: %d", got)
			}
			d.worker("llm", "w2", 2, func(e *workerExchange) { e.stream(2); e.events(1, 1); e.end() })
			if got := ask(t, d); got != http.StatusOK {
				t.Errorf("status with weights one version back: %d", got)
			}
		})
	})
	t.Run("missed", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T, d *deployment) {
			d.worker("llm", "w1", 1, func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() })
			name(d, 1, time.Now(), time.Now())
			<-time.After(20 * time.Second)
			complete := time.Now()
			<-time.After(3 * time.Second)
			name(d, 3, time.Now(), complete)
			if got := ask(t, d); got != http.StatusOK {
				t.Errorf("before the bound of the version that was missed: %d", got)
			}
			<-time.After(time.Until(complete.Add(8*time.Second - versionMargin + time.Millisecond)))
			if got := ask(t, d); got != http.StatusServiceUnavailable {
				t.Errorf("after the bound of the version that was missed: %d", got)
			}
		})
	})
}
