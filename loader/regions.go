package loader

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// maxRegionBytes is the maximum length of the name of a data centre or region.
const maxRegionBytes = 253

// LoadRegions reads and validates only the regions of the settings of cbentry. Errors are of type *Error.
func LoadRegions(file string) (Regions, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Key: "file", Detail: err.Error()}
	}
	settings := struct {
		Regions Regions `toml:"regions"`
	}{Regions: Regions{}}
	if err := toml.Unmarshal(data, &settings); err != nil {
		return nil, decodeError(file, err)
	}
	return settings.Regions, firstError(file, data, settings.Regions.validate())
}

func (r Regions) validate() []problem {
	for dataCentre, region := range r {
		if dataCentre == "" || region == "" || len(dataCentre) > maxRegionBytes || len(region) > maxRegionBytes {
			return []problem{{key: "regions", detail: fmt.Sprintf(
				"%.64q = %.64q: want names of 1 to %d bytes", dataCentre, region, maxRegionBytes,
			)}}
		}
	}
	return nil
}
