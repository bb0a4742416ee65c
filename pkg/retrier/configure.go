package retrier

// Configure replaces the settings. Existing budgets keep their retries, and the
// number of budgets that New took from its settings stays.
func (r *Retrier) Configure(settings Settings) {
	r.settings = settings
}
