"""The scale rig: hollow processes and what is measured of real ones among them (experiments/scale/)."""
