package isolator

// RecordCount returns the number of blocks with a record.
func (i *Isolator) RecordCount() int { return len(i.records) }

// CompletedCount returns the number of blocks whose last completion is kept.
func (i *Isolator) CompletedCount() int { return len(i.completed.elements) }
