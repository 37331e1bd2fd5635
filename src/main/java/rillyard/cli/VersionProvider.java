package rillyard.cli;

import picocli.CommandLine.IVersionProvider;

/** Provides the version that the build wrote into the jar. */
final class VersionProvider implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Cli.class.getPackage().getImplementationVersion();
        return new String[] {
            "rillyard " + (version == null ? "(not from a jar)" : version), "Java " + System.getProperty("java.version")
        };
    }
}
