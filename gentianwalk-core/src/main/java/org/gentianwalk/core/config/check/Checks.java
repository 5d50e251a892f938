package org.gentianwalk.core.config.check;

import java.util.List;

/** The checks in the order in which they run. */
public final class Checks {
    /** Checks of keys and values against a schema; they apply to any file with a schema. */
    public static final List<Check> SCHEMA =
            List.of(
                    new UnknownKeyCheck(),
                    new ShapeCheck(),
                    new EmptyListCheck(),
                    new NameCheck(),
                    new TypeCheck(),
                    new UnitCheck(),
                    new RangeCheck(),
                    new RequiredKeyCheck());

    /** Checks of references and consistency within the settings folder. */
    public static final List<Check> FOLDER =
            List.of(
                    new ZoneReferenceCheck(),
                    new ModelReferenceCheck(),
                    new EngineTypeReferenceCheck(),
                    new EngineCompleteCheck(),
                    new ServedModelCheck(),
                    new BranchReferenceCheck(),
                    new KindReferenceCheck(),
                    new DefaultKindCheck(),
                    new DuplicateApiKeyCheck(),
                    new DuplicateAddressCheck(),
                    new DuplicateUpstreamCheck());

    private Checks() {}
}
