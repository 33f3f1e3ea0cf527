package routing

// readsInTime reports whether the endpoint will read the prompt soon enough, as far as this
// entry's own requests tell. One request may always wait.
func readsInTime(q *query, e *endpoint, _ *candidate) bool {
	return e.waitingPromptTokens <= 0 || e.waitingPromptTokens+q.request.PromptTokens <= q.maxWaitingPromptTokens
}
