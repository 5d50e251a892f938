# Sourced by the other scripts: sets JAVA_HOME to a JDK of release 25 or later.
REQUIRED_RELEASE=25

release_of() {
    [ -x "$1/bin/javac" ] && [ -r "$1/release" ] || return 1
    sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release"
}

is_suitable() {
    local release
    release=$(release_of "$1") || return 1
    [ -n "$release" ] && [ "$release" -ge "$REQUIRED_RELEASE" ]
}

select_java_home() {
    local default_java candidate
    if [ -n "${JAVA_HOME:-}" ] && is_suitable "$JAVA_HOME"; then
        return 0
    fi
    default_java=$(command -v java 2>/dev/null) && default_java=$(readlink -f "$default_java")
    # JDKs are usually installed side by side, so the siblings of the default one are searched too.
    for candidate in "${default_java%/bin/java}" "${default_java%/*/bin/java}"/* "$HOME"/.jdks/*; do
        if is_suitable "$candidate"; then
            export JAVA_HOME="$candidate"
            return 0
        fi
    done
    echo "gentianwalk needs a JDK of release $REQUIRED_RELEASE or later." >&2
    echo "Install one (for example Eclipse Temurin $REQUIRED_RELEASE) and set JAVA_HOME to it." >&2
    return 1
}

require_maven() {
    command -v mvn >/dev/null 2>&1 && return 0
    echo "gentianwalk is built with Apache Maven 3.8 or later, and no mvn is on the PATH." >&2
    echo "Install Maven and run this command again." >&2
    return 1
}

select_java_home || exit 1
