/*
 * Starts the JVM by the JDK's own launcher library, with the same arguments as `java`, but waits once
 * before any thread is made.
 *
 * Guards against a start that is taken for one that hangs, where a platform steps its processes one
 * thread at a time: the JDK's launcher makes its first thread before the process has ever waited, and
 * one such start in about 1,200 was lost on a busy machine (docs/design/start.md has the counts).
 * It should serve wherever processes are started by the hundred. Harm: a millisecond of each start.
 */
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

typedef unsigned char jboolean;

/* The forms of JDK 17's libjli; build.sh compiles this against no other. */
typedef struct {
  char **elements;
  size_t size;
  size_t capacity;
} *ArgList;
typedef void (*InitArgs)(jboolean has_java_args, jboolean no_argfiles);
typedef ArgList (*Expand)(const char *arg, jboolean expand_source);
typedef int (*Launch)(int argc, char **argv, int jargc, const char **jargv, int cpc,
                      const char **cpv, const char *full_version, const char *dot_version,
                      const char *program, const char *launcher, jboolean java_args,
                      jboolean cp_wildcard, jboolean javaw, int ergo);

/* Whatever is not as at the build: the JDK's own launcher, found by PATH. */
static int by_java(char **argv) {
  argv[0] = "java";
  execvp("java", argv);
  perror("rillyard: java can't be started");
  return 127;
}

int main(int argc, char **argv) {
  struct timespec once = {0, 1000000};
  nanosleep(&once, NULL);
  void *jli = getenv("JDK_JAVA_OPTIONS") ? NULL : dlopen(LIBJLI, RTLD_NOW | RTLD_GLOBAL);
  InitArgs init = jli ? (InitArgs)dlsym(jli, "JLI_InitArgProcessing") : NULL;
  Expand expand = jli ? (Expand)dlsym(jli, "JLI_PreprocessArg") : NULL;
  Launch launch = jli ? (Launch)dlsym(jli, "JLI_Launch") : NULL;
  if (!init || !expand || !launch) {
    return by_java(argv);
  }
  init(0, 0);
  size_t n = 0;
  char **all = NULL;
  for (int i = 0; i < argc; i++) {
    ArgList file = i > 0 ? expand(argv[i], 1) : NULL; /* the contents of an @file, else NULL */
    size_t more = file ? file->size : 1;
    char **larger = realloc(all, (n + more + 1) * sizeof *all);
    if (!larger) {
      return by_java(argv);
    }
    all = larger;
    for (size_t k = 0; k < more; k++) {
      all[n++] = file ? file->elements[k] : argv[i];
    }
  }
  all[n] = NULL;
  return launch((int)n, all, 0, NULL, 0, NULL, "17", "17", "java", "openjdk", 0, 1, 0, 0);
}
