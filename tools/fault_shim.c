/* Fault injection for one process (LD_PRELOAD): steps its wall clock and makes its system calls fail, as configured
 * in a control file. The file is mapped into memory, so the faults can be changed while the process runs. Without a
 * usable file every call passes through unchanged. The file has the layout of FaultControl in shim.py: doubles, in
 * the order of struct control. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, RECV, SEND, EPOLL_WAIT, EPOLL_CTL, WRITE, FSYNC, RENAME, OPEN, CALL_COUNT };
#define ERRORS_PER_CALL 4 /* errno values per call, each drawn with the same probability; 0: no error */
#define MAX_SHORTENED_BYTES 3 /* maximum size of a shortened read or write, in bytes */

struct control {
    double wall_offset; /* seconds added to CLOCK_REALTIME */
    double seed;
    struct { double probability, count, errors[ERRORS_PER_CALL]; } call[CALL_COUNT];
};

static struct control *control;
static uint64_t random_state;

__attribute__((constructor)) static void map_control_file(void)
{
    const char *path = getenv("BRACKENLANE_FAULTS");
    if (!path)
        return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *map = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (map != MAP_FAILED) {
        control = map;
        random_state = 88172645463325252ull ^ ((uint64_t)control->seed * 2654435761ull);
    }
}

static uint64_t next_random(void)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

/* Returns whether this call is to fail now, and sets errno to the drawn error. */
static int should_fail(enum call which)
{
    if (!control || !(control->call[which].probability > 0))
        return 0;
    if ((next_random() >> 11) * (1.0 / 9007199254740992.0) >= control->call[which].probability)
        return 0;
    control->call[which].count += 1;
    errno = (int)control->call[which].errors[next_random() % ERRORS_PER_CALL];
    return 1;
}

#define REAL_FUNCTION(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int is_regular_file(int fd)
{
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

int clock_gettime(clockid_t which, struct timespec *now)
{
    static __typeof__(&clock_gettime) real_function;
    if (!real_function)
        real_function = REAL_FUNCTION(clock_gettime);
    int result = real_function(which, now);
    if (result == 0 && control && which == CLOCK_REALTIME && control->wall_offset != 0) {
        double seconds = (double)(int64_t)control->wall_offset;
        now->tv_sec += (time_t)seconds;
        now->tv_nsec += (long)((control->wall_offset - seconds) * 1e9);
        if (now->tv_nsec < 0) { now->tv_nsec += 1000000000; now->tv_sec -= 1; }
        if (now->tv_nsec >= 1000000000) { now->tv_nsec -= 1000000000; now->tv_sec += 1; }
    }
    return result;
}

int accept4(int sock, struct sockaddr *address, socklen_t *size, int flags)
{
    return should_fail(ACCEPT) ? -1 : REAL_FUNCTION(accept4)(sock, address, size, flags);
}

int accept(int sock, struct sockaddr *address, socklen_t *size)
{
    return should_fail(ACCEPT) ? -1 : REAL_FUNCTION(accept)(sock, address, size);
}

int socket(int domain, int type, int protocol)
{
    return should_fail(SOCKET) ? -1 : REAL_FUNCTION(socket)(domain, type, protocol);
}

int connect(int sock, const struct sockaddr *address, socklen_t size)
{
    return should_fail(CONNECT) ? -1 : REAL_FUNCTION(connect)(sock, address, size);
}

/* Returns the size of a socket read or write, reduced if it is to be shortened. No data is lost. */
static size_t shortened_size(enum call which, size_t size)
{
    return size > 1 && should_fail(which)
        ? 1 + next_random() % (size < MAX_SHORTENED_BYTES ? size : MAX_SHORTENED_BYTES)
        : size;
}

ssize_t recv(int sock, void *buffer, size_t size, int flags)
{
    return REAL_FUNCTION(recv)(sock, buffer, shortened_size(RECV, size), flags);
}

ssize_t send(int sock, const void *buffer, size_t size, int flags)
{
    return REAL_FUNCTION(send)(sock, buffer, shortened_size(SEND, size), flags);
}

int epoll_wait(int poll, struct epoll_event *events, int most, int timeout)
{
    return should_fail(EPOLL_WAIT) ? -1 : REAL_FUNCTION(epoll_wait)(poll, events, most, timeout);
}

int epoll_ctl(int poll, int operation, int fd, struct epoll_event *event)
{
    return operation == EPOLL_CTL_ADD && should_fail(EPOLL_CTL)
        ? -1
        : REAL_FUNCTION(epoll_ctl)(poll, operation, fd, event);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    if (control && control->call[WRITE].probability > 0 && is_regular_file(fd) && should_fail(WRITE)) {
        if (errno == 0) /* short write: only half of the data is written */
            return REAL_FUNCTION(write)(fd, buffer, size / 2);
        return -1;
    }
    return REAL_FUNCTION(write)(fd, buffer, size);
}

int fsync(int fd) { return should_fail(FSYNC) ? -1 : REAL_FUNCTION(fsync)(fd); }
int fdatasync(int fd) { return should_fail(FSYNC) ? -1 : REAL_FUNCTION(fdatasync)(fd); }
int rename(const char *from, const char *to) { return should_fail(RENAME) ? -1 : REAL_FUNCTION(rename)(from, to); }

static int should_fail_open(int flags)
{
    return (flags & O_ACCMODE) != O_RDONLY && should_fail(OPEN);
}

int open(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    return control && should_fail_open(flags) ? -1 : REAL_FUNCTION(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    return control && should_fail_open(flags) ? -1 : REAL_FUNCTION(open64)(path, flags, mode);
}
