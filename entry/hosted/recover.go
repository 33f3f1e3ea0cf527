package hosted

import (
	"net/http"

	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	"laburnumgw/lib/errkind"
	"laburnumgw/platform"
)

// answerPanics answers a request whose handler panics, which may have run. The connection of one
// whose response has begun is closed, so that the response does not look complete.
func (f *frontend) answerPanics(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		cause := recover()
		switch cause {
		case nil:
			return
		case http.ErrAbortHandler:
			panic(cause)
		}
		in, _ := platform.ParseCall(r.Header) // the id is read in any case
		f.metrics.panics.Inc()
		f.log.Error("handler of a request panicked", zap.String("request", in.ID), zap.Any("panic", cause), zap.Stack("stack"))
		if response, ok := w.(negroni.ResponseWriter); ok && response.Written() {
			f.metrics.cutResponse("panic").Inc()
			resetUnmarked(r)
			panic(http.ErrAbortHandler)
		}
		// Headers of a worker's response must not stay in a response of the entry.
		clear(w.Header())
		w.Header().Set("Connection", "close")
		f.refuse(w, &call{in: in}, errkind.New(errkind.OutcomeUnknown, "repeat the request if it is idempotent", "the entry failed"))
	}()
	next(w, r)
}
