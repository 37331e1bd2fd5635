package rillyard.childprocess;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The command line and environment with which this program, or another build of it, is started.
 *
 * @param java the JVM's executable
 * @param folder working directory, or null for this process's own
 * @param cores the cores that it may use, in the syntax of {@code taskset -c}; null for all
 * @param options JVM options
 * @param program {@code -jar FILE}, or {@code -cp PATH MAIN}
 * @param environment variables besides those of this process, whose {@code BALANCER_} ones are not inherited
 */
public record LaunchCommand(
        Path java,
        Path folder,
        String cores,
        List<String> options,
        List<String> program,
        Map<String, String> environment) {
    private static final Path TASKSET = Path.of("/usr/bin/taskset");

    /** Copies the collections, so that a command never changes. */
    public LaunchCommand {
        options = List.copyOf(options);
        program = List.copyOf(program);
        environment = Map.copyOf(environment);
    }

    /** Returns the command for this program, on the JVM and class path of this process. */
    public static LaunchCommand self() {
        return new LaunchCommand(
                Path.of(System.getProperty("java.home"), "bin", "java"),
                null,
                null,
                List.of(),
                List.of("-cp", System.getProperty("java.class.path"), "rillyard.Main"),
                Map.of());
    }

    /**
     * Returns the command for a build as the platform starts it, with the JVM options and the class archive beside it.
     * A missing or invalid archive is no error: the JVM starts without it.
     *
     * @param root folder that contains {@code deploy} and {@code target}
     */
    public static LaunchCommand platform(Path root) {
        return new LaunchCommand(
                Path.of(System.getProperty("java.home"), "bin", "java"),
                root,
                null,
                List.of("@deploy/proxy.jvm", "-XX:SharedArchiveFile=target/rillyard.jsa"),
                List.of("-jar", "target/rillyard.jar"),
                Map.of("MALLOC_ARENA_MAX", "1"));
    }

    /** Returns a copy that is restricted to some cores; without {@code taskset} the process may use all. */
    public LaunchCommand on(String cores) {
        return new LaunchCommand(java, folder, cores, options, program, environment);
    }

    /** Returns a copy with further JVM options before the existing ones. */
    public LaunchCommand with(List<String> options) {
        List<String> all = new ArrayList<>(options);
        all.addAll(this.options);
        return new LaunchCommand(java, folder, cores, all, program, environment);
    }

    /** Returns a copy with a further environment variable. */
    public LaunchCommand with(String variable, String value) {
        Map<String, String> all = new HashMap<>(environment);
        all.put(variable, value);
        return new LaunchCommand(java, folder, cores, options, program, all);
    }

    /** Returns a process builder for a command of this program. */
    ProcessBuilder builder(String... command) {
        List<String> arguments = new ArrayList<>();
        if (cores != null && Files.isExecutable(TASKSET)) {
            arguments.addAll(List.of(TASKSET.toString(), "-c", cores));
        }
        arguments.add(java.toString());
        arguments.addAll(options);
        arguments.addAll(program);
        arguments.addAll(List.of(command));
        ProcessBuilder builder = new ProcessBuilder(arguments);
        if (folder != null) {
            builder.directory(folder.toFile());
        }
        builder.environment().keySet().removeIf(variable -> variable.startsWith("BALANCER_"));
        builder.environment().putAll(environment);
        return builder;
    }
}
