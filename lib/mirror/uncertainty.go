package mirror

import (
	"time"

	"laburnumgw/lib/suspend"
)

// DateUncertainty is by how much Object.LearnedAt may be later than the acknowledgement of a change by a sound
// store over sound links: a standstill of the process that reads the store that is too short to be detected, and
// the way of the response to it. Objects of dated kinds are never dated late. Ages that pass from process to process add nothing.
const DateUncertainty = suspend.MinStandstill + maxStoreWay

// maxStoreWay is how long a response of the store may take to a process over a sound link.
const maxStoreWay = 25 * time.Millisecond
