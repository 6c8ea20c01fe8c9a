package reference

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/settings"
)

const (
	generated   = "<!-- Written by `make docs` from the code; edit the doc comments there. -->\n\n"
	fieldHeader = "| field | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n"
)

// Page is one generated page.
type Page struct {
	// Name is the name of the file in docs/.
	Name string
	Text string
}

// Pages generates all reference pages. root is the root directory of the
// repository.
func Pages(root string) ([]Page, error) {
	configuration, err := configurationPage(root)
	if err != nil {
		return nil, err
	}
	settingsText, err := settingsPage(root)
	if err != nil {
		return nil, err
	}
	return []Page{
		{"CONFIGURATION.md", configuration},
		{"SETTINGS.md", settingsText},
		{"ERRORS.md", errorsPage()},
	}, nil
}

func example(root, name string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "examples", name))
	return "```json\n" + string(raw) + "```\n", err
}

func configurationPage(root string) (string, error) {
	docs, err := readDocs(filepath.Join(root, "core", "config", "document.go"))
	if err != nil {
		return "", err
	}
	sample, err := example(root, "papeles.json")
	if err != nil {
		return "", err
	}
	p := &page{docs: docs}
	p.b.WriteString("# Configuration file\n\n" + generated +
		"Operators apply one JSON file as a whole with `plantainfield apply FILE`. Unknown fields are errors; an\n" +
		"absent policy field takes its default. `plantainfield validate FILE` prints each error with its JSON path.\n\n" + fieldHeader)
	p.addFields("", reflect.ValueOf(config.Defaults()))
	p.b.WriteString("\n## Example\n\n" + sample)
	return p.b.String(), nil
}

func settingsPage(root string) (string, error) {
	docs, err := readDocs(filepath.Join(root, "fleet", "settings", "settings.go"))
	if err != nil {
		return "", err
	}
	sample, err := example(root, "settings-bursa-1.json")
	if err != nil {
		return "", err
	}
	p := &page{docs: docs}
	p.b.WriteString("# Settings file of an instance\n\n" + generated +
		"Each instance starts with `plantainfieldd SETTINGS`. `plantainfieldd --check SETTINGS` prints each error with its\n" +
		"JSON path and exits with 2. Fields with a default may be left out.\n\n" + fieldHeader)
	p.addFields("", reflect.ValueOf(settings.Defaults()))
	p.b.WriteString("\n## Example\n\n" + sample)
	return p.b.String(), nil
}

func errorsPage() string {
	text := "# Error kinds\n\n" + generated +
		"Every error answer has the form\n" +
		"`{\"error\":{\"type\",\"code\",\"message\",\"ran\":\"no|unknown\",\"retry_after_seconds\"}}`, with a `Retry-After` header where\n" +
		"a retry can help. `ran` is `no` only if the request did not run. After an attempt that may have run, an answer may\n" +
		"state `unknown` where the table has `no`. The table is defined in core/errkind.\n\n" +
		"| code | status | type | ran | retry after (s) | message |\n| --- | --- | --- | --- | --- | --- |\n"
	for _, kind := range slices.Sorted(maps.Keys(errkind.Table)) {
		a := errkind.Table[kind]
		text += fmt.Sprintf("| `%s` | %d | `%s` | %s | %d | %s |\n", kind, a.Status, a.Type, a.Ran, a.RetryAfterSeconds, a.Message)
	}
	return text
}
