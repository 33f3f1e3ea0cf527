package hosted

import (
	"strconv"
	"strings"
	"time"
)

// usualPace is the pace of a worker on a machine of its own, in percent.
const usualPace = 100

// Statement is what a worker states of its load with each response. The zero value states nothing.
type Statement struct {
	// Pace is the time in percent of the usual that work takes on the machine of the worker; zero for no statement.
	Pace int
	// Text takes the place of a figure, or follows the last one if Figure is their number; empty for none.
	Text   string
	Figure int
}

// SetStatement changes what a plain worker states of its load, and how long its work takes.
func (w *Worker) SetStatement(s Statement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statement = s
}

// statedLoad returns the statement for a response, or an empty text. The caller holds the lock.
func (w *Worker) statedLoad() string {
	s := w.statement
	if s.Pace == 0 {
		return ""
	}
	slots := w.statedSlots()
	running := min(w.running, slots)
	figures := []string{strconv.Itoa(running), strconv.Itoa(w.running - running), strconv.Itoa(slots), strconv.Itoa(s.Pace)}
	if s.Text != "" && s.Figure < len(figures) {
		figures[s.Figure] = s.Text
	} else if s.Text != "" {
		figures = append(figures, s.Text)
	}
	return strings.Join(figures, ",")
}

// runTime returns how long a plain worker takes for a request now.
func (w *Worker) runTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.statement.Pace == 0 {
		return w.RunTime
	}
	return w.RunTime * time.Duration(w.statement.Pace) / usualPace
}

// usualSlots is how many requests a worker runs at once that states nothing else.
const usualSlots = 16

func (w *Worker) statedSlots() int {
	if w.Slots > 0 {
		return w.Slots
	}
	return usualSlots
}
