package rillyard.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build wrote into the jar. */
final class VersionProvider implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String v = Cli.class.getPackage().getImplementationVersion();
        return new String[] {
            "rillyard " + (v == null ? "(not from a jar)" : v), "Java " + System.getProperty("java.version")
        };
    }
}
