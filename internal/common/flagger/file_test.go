package flagger_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
)

func TestSettingsFileOverridesEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.env")
	assert.NilError(t, os.WriteFile(path, []byte("# note\n\nA = 1\nB=\nC=x=y\n"), 0o600))
	getenv, err := flagger.ReadSettingsFile(path, func(name string) string { return "environment's " + name })
	assert.NilError(t, err)
	for name, want := range map[string]string{"A": "1", "B": "", "C": "x=y", "D": "environment's D"} {
		assert.Equal(t, getenv(name), want)
	}
}

func TestSettingsFileErrorNamesFileAndInvalidLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.env")
	_, err := flagger.ReadSettingsFile(path, os.Getenv)
	assert.ErrorContains(t, err, path)
	assert.NilError(t, os.WriteFile(path, []byte("A=1\nnonsense\n"), 0o600))
	_, err = flagger.ReadSettingsFile(path, os.Getenv)
	assert.ErrorContains(t, err, `line 2: value "nonsense": allowed: NAME=VALUE`)
}
