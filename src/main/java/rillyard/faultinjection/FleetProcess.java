package rillyard.faultinjection;

/** A process of a fault-injection run: its number from 0, its name, its zone and region. */
record FleetProcess(int index, String name, int zone, int region) {
    static FleetProcess of(int index, int zones, int regions) {
        return new FleetProcess(index, "m" + index, index % zones, index % zones % regions);
    }
}
