package loader

import "fmt"

// maxRegionBytes is the maximum length of the name of a data centre or region.
const maxRegionBytes = 253

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
