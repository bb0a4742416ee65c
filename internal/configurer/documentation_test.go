package configurer_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

func TestDocumentationListsEveryFlagAndDefault(t *testing.T) {
	page := readConfigurationPage(t)
	for command, flags := range map[string]*flag.FlagSet{
		"serve": configurer.ServeFlagSet(&configurer.Settings{}),
		"relay": configurer.RelayFlagSet(&configurer.RelaySettings{}),
	} {
		_, section, found := strings.Cut(page, "## Settings of `oleanderpick "+command+"`\n")
		assert.Assert(t, found, "no section of %s", command)
		section, _, _ = strings.Cut(section, "\n## ")
		rows := 0
		flags.VisitAll(func(f *flag.Flag) {
			rows++
			row := fmt.Sprintf("| `-%s` | `%s` | ", f.Name, flagger.EnvironmentVariable(f.Name))
			assert.Assert(t, strings.Contains(section, row), "%s: no row %s", command, row)
			if f.DefValue != "" {
				assert.Assert(t, strings.Contains(section, row+"`"+f.DefValue+"` |"), "%s: wrong default in row %s", command, row)
			}
		})
		assert.Equal(t, strings.Count(section, "| `-"), rows, "%s: rows of settings that do not exist", command)
	}
}

func TestDocumentationListsEveryResourceField(t *testing.T) {
	page := readConfigurationPage(t)
	for _, resource := range []any{
		declarer.ServiceClass{}, declarer.Workspace{}, declarer.Service{}, declarer.Endpoint{}, declarer.PlannedChange{},
	} {
		kind := reflect.TypeOf(resource)
		_, section, found := strings.Cut(page, "### "+kind.Name()+"\n")
		assert.Assert(t, found, "no section %s", kind.Name())
		section, _, _ = strings.Cut(section, "\n### ")
		fields := 0
		for field := range kind.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "-" {
				continue
			}
			fields++
			assert.Assert(t, strings.Contains(section, "| `"+name+"` | "), "%s: no field %s", kind.Name(), name)
		}
		assert.Equal(t, strings.Count(section, "\n| `"), fields, "%s: fields that do not exist", kind.Name())
	}
}

func readConfigurationPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	assert.NilError(t, err)

	return string(page)
}
