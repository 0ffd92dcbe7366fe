/* The Python interpreter, with reload signals (SIGHUP) blocked from its first instruction on.
 *
 * The default action of SIGHUP ends a process, and the interpreter needs milliseconds before a program can install a
 * handler. A blocked signal stays pending instead: brambleusher/runtime/signal_holding.py unblocks it once the program
 * has a handler. The interpreter's library is loaded at run time, because loading it takes longer than the rest of a
 * start.
 *
 * INTERPRETER and LIBRARY are defined by brambleusher/deployment/interpreter.py.
 */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>

enum { EXIT_CANNOT_START = 127 };

typedef int (*python_main)(int argc, char **argv);

static void block_reload_signal(void)
{
    sigset_t reload;

    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    sigprocmask(SIG_BLOCK, &reload, NULL);
}

int main(int argc, char **argv)
{
    void *library;
    python_main run = NULL;

    block_reload_signal();
    library = dlopen(LIBRARY, RTLD_NOW | RTLD_GLOBAL);
    if (library != NULL)
        run = (python_main)dlsym(library, "Py_BytesMain");
    if (run == NULL) {
        fprintf(stderr, "%s: the interpreter can't be loaded: %s\n", argv[0], dlerror());
        return EXIT_CANNOT_START;
    }
    /* The interpreter finds its standard library by the path of its program. */
    argv[0] = INTERPRETER;
    return run(argc, argv);
}
