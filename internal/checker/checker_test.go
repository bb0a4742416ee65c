package checker_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/checker"
)

// Each case holds the manifests, as "-- NAME" followed by the contents, and the
// expected output after "-- output". The output's file names are relative to the
// folder that is checked.
var checkCases = []string{
	`-- classes.json
[{"kind":"ServiceClass","name":"chat","spec":{"tier":0,"firstToken":"360ms"}}]
-- below/workspaces.json
{"kind":"Workspace","name":"clinic","spec":{"classes":["chat"]}}
-- notes.txt
not a manifest
-- output
2 files, 2 resources, 0 problems
`,
	`-- a.json
[{"kind":"ServiceClass","name":"chat","spec":{"tier":7,"speed":1}},
 {"kind":"Workspace","name":"clinic","spec":{"classes":["chat"],"rate":-1}},
 {"kind":"Workspace","name":"hotel","spec":{"classes":["chat"]}}]
-- output
a.json: ServiceClass/chat: speed: 1: unknown field
a.json: Workspace/clinic: rate: -1 is less than 0
a.json: Workspace/hotel: classes: ServiceClass "chat" does not exist
1 files, 3 resources, 3 problems
`,
	`-- a.json
[{"kind":"ServiceClass","name":"chat","spec":{}}]
-- b.json
{"kind":"ServiceClass","name":"chat","spec":{}}
-- output
b.json: ServiceClass/chat: name: "chat" is declared twice
2 files, 2 resources, 1 problems
`,
	`-- a.json
{"kind":"ServiceClass",
 "name":}
-- b.json
{"kind":"ServiceClass","name":"chat","spec":{}} {}
-- c.json
{"kind":"ServiceClass","name":"chat","specs":{}}
-- output
a.json: not a resource or a list of resources: line 2: invalid character '}' looking for beginning of value
b.json: line 1: there is data after the end
c.json: not a resource or a list of resources: line 1: json: unknown field "specs"
3 files, 0 resources, 3 problems
`,
}

func TestCheckReportsProblemsByFile(t *testing.T) {
	for _, text := range checkCases {
		folder := t.TempDir()
		var wantOutput string
		for _, section := range strings.Split(strings.TrimPrefix(text, "-- "), "\n-- ") {
			name, contents, _ := strings.Cut(section, "\n")
			if name == "output" {
				wantOutput = contents
				continue
			}
			path := filepath.Join(folder, name)
			assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
			assert.NilError(t, os.WriteFile(path, []byte(contents), 0o600))
		}
		var output bytes.Buffer
		problemCount, err := checker.New(&output).Check([]string{folder})
		assert.NilError(t, err)
		assert.Equal(t, strings.ReplaceAll(output.String(), folder+string(filepath.Separator), ""), wantOutput)
		assert.Equal(t, problemCount, strings.Count(wantOutput, "\n")-1)
	}
}

func TestCheckAcceptsExampleManifests(t *testing.T) {
	for folder, want := range map[string]string{
		"celeste":  "5 files, 31 resources, 0 problems\n",
		"cascadia": "5 files, 33 resources, 0 problems\n",
	} {
		var output bytes.Buffer
		_, err := checker.New(&output).Check([]string{filepath.Join("..", "..", "examples", folder)})
		assert.NilError(t, err)
		assert.Equal(t, output.String(), want)
	}
}

func TestCheckFailsWithoutManifests(t *testing.T) {
	for path, want := range map[string]string{
		t.TempDir():                           "no manifest found",
		filepath.Join(t.TempDir(), "missing"): "no such file",
	} {
		_, err := checker.New(&bytes.Buffer{}).Check([]string{path})
		assert.ErrorContains(t, err, want)
	}
}
